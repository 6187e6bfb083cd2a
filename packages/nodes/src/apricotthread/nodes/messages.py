"""The messages between nodes, one class for each struct in peer.capnp."""

import msgspec


class Message(
    msgspec.Struct, frozen=True, kw_only=True, rename='camel', gc=False
):
    """The base of every message between nodes."""


class Greeting(Message):
    """The first message on a connection, from each side."""

    protocol: int
    node_id: str
    data_centre: str
    incarnation: int
    host: str = ''
    peer_port: int = 0
    roles: list[str] = []


class Capacity(Message):
    """The capacity of a node's endpoints for one service."""

    service: str
    free_requests: int
    free_bytes: int
    limit_requests: int
    queued: int = 0


class VmReport(Message):
    """The state of an engine VM as it last reported to an entry."""

    endpoint_id: str
    incarnation: int
    fabric_domain: str
    url: str
    accelerators: int
    checks_fencing: bool
    member_state: str
    group_id: str
    fencing: int
    leaving: bool
    cold: bool
    age_ms: int
    running: int = 0


class Heartbeat(Message):
    """The soft state of a node; a higher sequence replaces a lower one."""

    sequence: int
    incarnation: int
    draining: bool
    applied_index: int
    version: int
    capacities: list[Capacity]
    vms: list[VmReport]
    local_out: bool = False


class Fault(Message):
    """The reply to a request that failed, with the code of the error."""

    code: str
    message: str
    ran: str
    retry_after_ms: int = 0


class Done(Message):
    """The end of a stream of replies, or an empty reply."""


class Window(Message):
    """Allows the sender of a stream to send this many further bytes."""

    bytes: int


class Cancel(Message):
    """Cancels a request whose reply is no longer needed."""


class VoteRequest(Message):
    """Asks a voter for its vote; a pre-vote asks if it would grant it."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    pre_vote: bool


class VoteReply(Message):
    """The term of a voter, whether it grants its vote, and its disk."""

    term: int
    granted: bool
    disk_id: str = ''


class Resignation(Message):
    """Tells voters that the leader of a term has resigned."""

    term: int


class LogEntry(Message):
    """One entry of the replicated log."""

    index: int
    term: int
    payload: bytes


class AppendRequest(Message):
    """Entries from the leader; without entries it is a heartbeat."""

    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: list[LogEntry]
    commit_index: int


class AppendReply(Message):
    """The index up to which a replica's log matches the leader's."""

    term: int
    success: bool
    match_index: int
    applied_index: int
    disk_id: str = ''


class SnapshotPiece(Message):
    """One piece of an agreed-state snapshot, for a replica far behind."""

    term: int
    leader: str
    last_index: int
    last_term: int
    offset: int
    data: bytes
    complete: bool


class Proposal(Message):
    """A command proposed to the leader."""

    payload: bytes


class ProposalReply(Message):
    """The result of a command after a majority has synced it."""

    payload: bytes


class IdentityRequest(Message):
    """Asks a voter for the id of its disk."""


class VoterDisk(Message):
    """A voter and the id of the disk that identifies it."""

    node_id: str
    disk_id: str


class IdentityReply(Message):
    """The disk of a voter, and the voters it was admitted with."""

    disk_id: str
    admitted: bool
    voters: list[VoterDisk]


class StateRequest(Message):
    """Asks a peer for its copy of the agreed state."""


class StateReply(Message):
    """A peer's encoded agreed state and the last log entry applied to it."""

    index: int
    term: int
    data: bytes


class Ballot(Message, order=True):
    """Orders the attempts to decide a claim.

    Each proposer has its own id, even among proposers of the same node.
    """

    number: int = 0
    claim_id: str = ''


class Claim(Message):
    """The right of one entry to dispatch a call once."""

    claim_id: str = ''
    holder: str = ''
    incarnation: int = 0
    request_id: str = ''
    digest: str = ''
    claimed_at_ms: int = 0


class ClaimPrepare(Message):
    """Asks a register for a promise and for the claim it has accepted."""

    key: str
    attempt: int
    ballot: Ballot


class ClaimAccept(Message):
    """Asks a register to accept a claim."""

    key: str
    attempt: int
    ballot: Ballot
    claim: Claim


class ClaimReply(Message):
    """The state of a register after a prepare, an accept or an outcome."""

    granted: bool
    promised: Ballot = Ballot()
    accepted: Ballot = Ballot()
    claim: Claim = Claim()
    outcome: str = ''
    status: int = 0
    content_type: str = ''
    body: bytes = b''


class ClaimOutcome(Message):
    """The outcome of a claimed call, recorded with the claim."""

    key: str
    attempt: int
    claim_id: str
    outcome: str
    claimed_at_ms: int
    status: int = 0
    content_type: str = ''
    body: bytes = b''


class Header(Message):
    """One HTTP header field."""

    name: str
    value: str


class Dispatch(Message):
    """A caller's request that is passed to an endpoint of another entry.

    With may_wait the request queues at that entry; without, it is refused
    if no endpoint has room.
    """

    request_id: str
    account: str
    service: str
    kind: str
    method: str
    path: str
    headers: list[Header]
    body: bytes
    timeout_ms: int
    offset: int
    model: bool
    repeatable: bool
    max_tokens: int
    priority: int
    prompt: str = ''
    may_wait: bool = False


class DispatchHead(Message):
    """The status and the headers of an endpoint's answer."""

    status: int
    headers: list[Header]
    endpoint_id: str


class DispatchPiece(Message):
    """A part of an answer; offset counts tokens, in plain answers bytes."""

    offset: int
    tokens: int
    data: bytes
    finish: str = ''


class OrderRequest(Message):
    """An order that an entry forwards to a VM in its data centre."""

    endpoint_id: str
    action: str
    fencing: int
    group_id: str
    service: str
    model: str
    model_version: str
    rank: int
    members: list[str]
    timeout_ms: int


class OrderReply(Message):
    """Whether the VM confirmed the order."""

    confirmed: bool
    reason: str


class CreditRequest(Message):
    """Asks the home node of a pool for credits and renews those in use."""

    pool: str
    holder: str
    incarnation: int
    wanted: int
    in_use: int


class CreditReply(Message):
    """The credits that the holder has until the lease ends."""

    granted: int
    lease_ms: int


class AuditRequest(Message):
    """Asks a voter for its audit records after an index."""

    since: int


class AuditReply(Message):
    """Audit records, one JSON object each."""

    lines: list[str]


class KnownNode(Message):
    """A node and how to reach it."""

    node_id: str
    data_centre: str
    host: str
    peer_port: int
    roles: list[str]


class NodesRequest(Message):
    """Asks a control node which control nodes it is connected to."""


class NodesReply(Message):
    """The sender and the control nodes that it is connected to."""

    nodes: list[KnownNode]


class Subscribe(Message):
    """Asks a control node for its state and all later changes.

    The replies are updates, until the subscriber cancels.
    """

    table_version: int


class Update(Message):
    """Changes of the directory and the agreed state, in MessagePack."""

    payload: bytes


class EndpointNews(Message):
    """Endpoint announcements from another control node, in MessagePack."""

    payload: bytes


class Evidence(Message):
    """An entry's observations of endpoints, in MessagePack."""

    payload: bytes


class EvidenceReply(Message):
    """The leader's answer to an entry's observations, in MessagePack.

    `payload` has the requests in flight from all entries by endpoint,
    `quarantine` the parts of prompts that are kept away, `share` the entry's
    share of bounds that all entries hold together, and `limits` the limits of
    endpoints with the entry's permits. All but the first may be empty.
    """

    payload: bytes
    quarantine: bytes = b''
    share: bytes = b''
    limits: bytes = b''


class DocumentRequest(Message):
    """Asks the leader for the newest table as it was submitted."""


class DocumentReply(Message):
    """The newest table at the time of the reply; empty if there is none."""

    version: int
    document: bytes


BODY_TYPES = (
    Greeting,
    Heartbeat,
    Fault,
    Done,
    Window,
    Cancel,
    VoteRequest,
    VoteReply,
    AppendRequest,
    AppendReply,
    SnapshotPiece,
    Proposal,
    ProposalReply,
    IdentityRequest,
    IdentityReply,
    StateRequest,
    StateReply,
    ClaimPrepare,
    ClaimAccept,
    ClaimReply,
    ClaimOutcome,
    Dispatch,
    DispatchHead,
    DispatchPiece,
    OrderRequest,
    OrderReply,
    CreditRequest,
    CreditReply,
    AuditRequest,
    AuditReply,
    Resignation,
    NodesRequest,
    NodesReply,
    Subscribe,
    Update,
    EndpointNews,
    Evidence,
    DocumentRequest,
    DocumentReply,
    EvidenceReply,
)
