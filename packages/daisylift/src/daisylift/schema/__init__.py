"""Schema files of the remote procedure calls and the code generated from them."""
