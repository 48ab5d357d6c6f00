"""What lives as long as a connection: pools towards backend servers, peers."""
