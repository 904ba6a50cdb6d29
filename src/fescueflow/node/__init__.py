"""Assembly and lifecycle of one instance."""

from fescueflow.node.assembly import Components, assemble_components
from fescueflow.node.lifecycle import Node

__all__ = ["Components", "Node", "assemble_components"]
