"""azureswitch serves prompts of very unlike lengths from one shared fleet."""

__version__ = "0.1.0"

__all__ = ["__version__"]
