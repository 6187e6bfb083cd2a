"""What entries know of the fleet, and how control nodes tell them."""
