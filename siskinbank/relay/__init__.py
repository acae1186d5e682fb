"""Entry and sidecar processes for the users' platform.

These processes forward packets and import only what they need to start
quickly.
"""
