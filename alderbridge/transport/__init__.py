"""HTTP client and server, the epoll selector under them, and the connections between controllers."""
