"""Bytecode of the package: the build of a deployment makes it, a checkout has none."""

import compileall
import pathlib
import py_compile

import onyxgap

PACKAGE = pathlib.Path(onyxgap.__file__).parent


def compile_package(package: pathlib.Path = PACKAGE) -> None:
    """Compile a package as the build does, so that its processes compile nothing.

    :param package: folder of the package.
    :raises RuntimeError: if a module cannot be compiled, or its bytecode written.
    """
    mode = py_compile.PycInvalidationMode.CHECKED_HASH
    if not compileall.compile_dir(package, quiet=2, invalidation_mode=mode):
        raise RuntimeError(f"no bytecode for {package}")
