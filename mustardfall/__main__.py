"""Lets `python -m mustardfall` run the command line."""

from mustardfall import cli

cli.main()
