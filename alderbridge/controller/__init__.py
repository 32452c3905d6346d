"""One controller process.

``core`` makes all decisions without I/O; ``process`` does the I/O with the store, the cloud, the workers, the users and
the other controllers.
"""
