"""Run the operators' command with ``python -m daisylift_admin``."""

from daisylift_admin.core import run

if __name__ == '__main__':
    run()
