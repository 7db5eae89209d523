"""The same decisions on the wire of the simulator, over standard input and output."""
