"""HTTP, the selector below it, and the mesh of channels between controllers."""
