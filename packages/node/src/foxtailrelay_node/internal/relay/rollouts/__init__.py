"""Roll-outs of backend server versions on a node."""
