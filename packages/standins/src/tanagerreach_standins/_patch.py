"""Applies gevent's monkey patches; every runnable stand-in imports this module first.

bottle keeps the current request in a thread-local variable, which all greenlets of a process would
share if ``threading`` were not patched before bottle is imported.
"""

from gevent import monkey

monkey.patch_all()
