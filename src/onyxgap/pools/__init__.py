"""The VMs of a deployment: which pool each is in, and when each is maintained."""
