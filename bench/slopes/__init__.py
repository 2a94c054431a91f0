"""Linear fits of processor time, memory and bytes against system size."""
