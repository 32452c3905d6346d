"""One controller: ``core`` decides, without I/O; ``process`` moves what it decides between store, cloud, workers, users
and the other controllers.
"""
