"""Which requests, and which parts of prompts, crash the targets that run them."""
