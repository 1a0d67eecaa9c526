"""The tree of HTTP resources of a daemon: `/v1`, `/admin/v1` and `/metrics`."""

from twisted.web.iweb import IRequest
from twisted.web.resource import IResource, Resource

from notcharch.errors import Problem, ProblemCode
from notcharch.wire.http_problem import start_problem


class UnknownPath(Resource):
    """Answers every path that nobody serves with a problem."""

    isLeaf = True  # noqa: N815 - Twisted's name

    def __init__(self) -> None:
        """Serve without children."""
        super().__init__()  # type: ignore[no-untyped-call]

    def render(self, request: IRequest) -> bytes:
        """Give NOT_FOUND."""
        problem = Problem.of(ProblemCode.NOT_FOUND, "nothing is served at this path")
        return start_problem(request, problem)


class Branch(Resource):
    """A path segment without a page of its own."""

    def __init__(self) -> None:
        """Begin without children."""
        super().__init__()  # type: ignore[no-untyped-call]

    def getChild(self, path: bytes, request: IRequest) -> IResource:  # noqa: N802
        """Answer unknown children, and the branch itself, with a problem."""
        return UnknownPath()

    def render(self, request: IRequest) -> bytes:
        """Give NOT_FOUND."""
        return UnknownPath().render(request)


def build_tree(callers: IResource, operators: IResource, metrics: IResource) -> Branch:
    """Mount the three interfaces."""
    root = Branch()
    admin = Branch()
    root.putChild(b"v1", callers)
    root.putChild(b"admin", admin)
    admin.putChild(b"v1", operators)
    root.putChild(b"metrics", metrics)
    return root
