"""Adapter for the outside platform: its field names, formats and store calls.

The platform's terms are translated here and occur nowhere else.
"""
