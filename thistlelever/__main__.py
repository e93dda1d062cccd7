"""`python -m thistlelever`: the command line of the real front."""

from thistlelever.cli.main import main

if __name__ == "__main__":
    main()
