"""Entry point of ``python -m siskinbank``."""

from siskinbank.commands import main

if __name__ == '__main__':
    main()
