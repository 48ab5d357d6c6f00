"""Run the node with ``python -m daisylift_node``."""

from daisylift_node.core import run

if __name__ == '__main__':
    run()
