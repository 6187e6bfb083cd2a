"""The messages between nodes, one data class for each schema struct."""

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
    """What a node's endpoints can take for one service."""

    service: str
    free_requests: int
    free_bytes: int
    limit_requests: int
    queued: int = 0


class VmReport(Message):
    """What an entry heard last from one engine VM."""

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
    """The soft state of a node; a newer sequence replaces an older one."""

    sequence: int
    incarnation: int
    draining: bool
    applied_index: int
    version: int
    capacities: list[Capacity]
    vms: list[VmReport]
    local_out: bool = False
    # How many entries there are, as a leader knows from their reports.
    entries: int = 0


class Fault(Message):
    """A request that failed, with the code of the error."""

    code: str
    message: str
    ran: str
    retry_after_ms: int = 0


class Done(Message):
    """The end of a stream of replies, or an empty reply."""


class Window(Message):
    """Allows the sender of a stream this many further bytes."""

    bytes: int


class Cancel(Message):
    """Stops a request whose reply is no longer wanted."""


class VoteRequest(Message):
    """Asks a voter for its vote, or whether it would give it."""

    term: int
    candidate: str
    last_index: int
    last_term: int
    pre_vote: bool


class VoteReply(Message):
    """The answer of a voter."""

    term: int
    granted: bool


class Resignation(Message):
    """Tells voters that the leader of a term has stopped leading."""

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
    """How far a replica's log matches the leader's."""

    term: int
    success: bool
    match_index: int
    applied_index: int
    disk_id: str = ''


class SnapshotPiece(Message):
    """One piece of the agreed state, for a replica that is far behind."""

    term: int
    leader: str
    last_index: int
    last_term: int
    offset: int
    data: bytes
    complete: bool


class Proposal(Message):
    """A command for the leader."""

    payload: bytes


class ProposalReply(Message):
    """The result of a command, once a majority has it synced."""

    payload: bytes


class IdentityRequest(Message):
    """Asks a voter which disk it has."""


class VoterDisk(Message):
    """The disk by which a voter is known."""

    node_id: str
    disk_id: str


class IdentityReply(Message):
    """The disk of a voter and the voters that it was admitted with."""

    disk_id: str
    admitted: bool
    voters: list[VoterDisk]


class StateRequest(Message):
    """Asks a peer for the agreed state as it has it."""


class StateReply(Message):
    """The agreed state of a peer, encoded, and the entry it includes."""

    index: int
    term: int
    data: bytes


class Ballot(Message, order=True):
    """The order of attempts to decide a claim.

    Each proposer has an id of its own, also beside others of its node.
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
    """Asks a register for its promise and for what it has accepted."""

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
    """What a register holds after a prepare, an accept or an outcome."""

    granted: bool
    promised: Ballot = Ballot()
    accepted: Ballot = Ballot()
    claim: Claim = Claim()
    outcome: str = ''
    status: int = 0
    content_type: str = ''
    body: bytes = b''


class ClaimOutcome(Message):
    """What became of a claimed call, recorded beside the claim."""

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
    """A caller's request for an endpoint of another entry.

    If it may wait it takes its turn in the queue there, else it is
    refused when there is no room.
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
    """The start of an endpoint's answer."""

    status: int
    headers: list[Header]
    endpoint_id: str


class DispatchPiece(Message):
    """A part of an answer; the offset counts tokens, or bytes if plain."""

    offset: int
    tokens: int
    data: bytes
    finish: str = ''


class OrderRequest(Message):
    """An order that an entry passes on to a VM of its data centre."""

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
    """Asks the home of a pool for credits, and renews those in use."""

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
    """Asks a control node which control nodes it is in touch with."""


class NodesReply(Message):
    """The control nodes that the sender heard within the lease."""

    nodes: list[KnownNode]


class Subscribe(Message):
    """Asks a control node for its state and all that changes in it.

    The replies are updates until the subscriber cancels.
    """

    table_version: int


class Update(Message):
    """A part of the directory or the agreed state, in MessagePack."""

    payload: bytes


class EndpointNews(Message):
    """What a control node has just heard of endpoints, in MessagePack."""

    payload: bytes


class Evidence(Message):
    """What an entry has seen of endpoints, in MessagePack."""

    payload: bytes


class EvidenceReply(Message):
    """The work of all entries at each endpoint, in MessagePack."""

    payload: bytes


class DocumentRequest(Message):
    """Asks the leader for the newest table as it was handed in."""


class DocumentReply(Message):
    """The newest table at the time of the reply; no document if none."""

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
