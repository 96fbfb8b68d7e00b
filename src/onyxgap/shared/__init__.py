"""What the processes of one deployment agree on."""
