"""Autoscaling and maintenance of the VM pools of a deployment."""
