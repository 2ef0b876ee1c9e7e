"""Translation between the platform's formats and the router's types.

This is the only package that knows the platform's field, header and path names.
"""
