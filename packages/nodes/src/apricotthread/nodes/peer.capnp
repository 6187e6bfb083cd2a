# The protocol between nodes. A frame is a little-endian 32-bit length
# followed by one Frame message. A connection carries requests from the node
# that dialled, and replies to that node. Field numbers are never reused.
@0xd1f2a4b7c3e59806;

struct Frame {
  requestId @0 :UInt64;
  last @1 :Bool;
  body :union {
    greeting @2 :Greeting;
    heartbeat @3 :Heartbeat;
    fault @4 :Fault;
    done @5 :Done;
    window @6 :Window;
    cancel @7 :Cancel;
    voteRequest @8 :VoteRequest;
    voteReply @9 :VoteReply;
    appendRequest @10 :AppendRequest;
    appendReply @11 :AppendReply;
    snapshotPiece @12 :SnapshotPiece;
    proposal @13 :Proposal;
    proposalReply @14 :ProposalReply;
    identityRequest @15 :IdentityRequest;
    identityReply @16 :IdentityReply;
    stateRequest @17 :StateRequest;
    stateReply @18 :StateReply;
    claimPrepare @19 :ClaimPrepare;
    claimAccept @20 :ClaimAccept;
    claimReply @21 :ClaimReply;
    claimOutcome @22 :ClaimOutcome;
    dispatch @23 :Dispatch;
    dispatchHead @24 :DispatchHead;
    dispatchPiece @25 :DispatchPiece;
    orderRequest @26 :OrderRequest;
    orderReply @27 :OrderReply;
    creditRequest @28 :CreditRequest;
    creditReply @29 :CreditReply;
    auditRequest @30 :AuditRequest;
    auditReply @31 :AuditReply;
    resignation @32 :Resignation;
    nodesRequest @33 :NodesRequest;
    nodesReply @34 :NodesReply;
    subscribe @35 :Subscribe;
    update @36 :Update;
    endpointNews @37 :EndpointNews;
    evidence @38 :Evidence;
    documentRequest @39 :DocumentRequest;
    documentReply @40 :DocumentReply;
    evidenceReply @41 :EvidenceReply;
  }
}

struct Greeting {
  protocol @0 :UInt32;
  nodeId @1 :Text;
  dataCentre @2 :Text;
  incarnation @3 :UInt64;
  host @4 :Text;
  peerPort @5 :UInt16;
  roles @6 :List(Text);
}

struct Heartbeat {
  sequence @0 :UInt64;
  incarnation @1 :UInt64;
  draining @2 :Bool;
  appliedIndex @3 :UInt64;
  version @4 :UInt64;
  capacities @5 :List(Capacity);
  vms @6 :List(VmReport);
  localOut @7 :Bool;
}

struct Capacity {
  service @0 :Text;
  freeRequests @1 :UInt32;
  freeBytes @2 :UInt64;
  limitRequests @3 :UInt32;
  queued @4 :UInt32;
}

struct VmReport {
  endpointId @0 :Text;
  incarnation @1 :UInt64;
  fabricDomain @2 :Text;
  url @3 :Text;
  accelerators @4 :UInt32;
  checksFencing @5 :Bool;
  memberState @6 :Text;
  groupId @7 :Text;
  fencing @8 :UInt64;
  leaving @9 :Bool;
  cold @10 :Bool;
  ageMs @11 :UInt32;
  running @12 :UInt32;
}

struct Fault {
  code @0 :Text;
  message @1 :Text;
  ran @2 :Text;
  retryAfterMs @3 :UInt32;
}

struct Done {}

struct Window { bytes @0 :UInt32; }

struct Cancel {}

struct VoteRequest {
  term @0 :UInt64;
  candidate @1 :Text;
  lastIndex @2 :UInt64;
  lastTerm @3 :UInt64;
  preVote @4 :Bool;
}

struct Resignation { term @0 :UInt64; }

struct VoteReply {
  term @0 :UInt64;
  granted @1 :Bool;
  diskId @2 :Text;
}

struct LogEntry {
  index @0 :UInt64;
  term @1 :UInt64;
  payload @2 :Data;
}

struct AppendRequest {
  term @0 :UInt64;
  leader @1 :Text;
  previousIndex @2 :UInt64;
  previousTerm @3 :UInt64;
  entries @4 :List(LogEntry);
  commitIndex @5 :UInt64;
}

struct AppendReply {
  term @0 :UInt64;
  success @1 :Bool;
  matchIndex @2 :UInt64;
  appliedIndex @3 :UInt64;
  diskId @4 :Text;
}

struct SnapshotPiece {
  term @0 :UInt64;
  leader @1 :Text;
  lastIndex @2 :UInt64;
  lastTerm @3 :UInt64;
  offset @4 :UInt64;
  data @5 :Data;
  complete @6 :Bool;
}

struct Proposal { payload @0 :Data; }

struct ProposalReply { payload @0 :Data; }

struct IdentityRequest {}

struct VoterDisk {
  nodeId @0 :Text;
  diskId @1 :Text;
}

struct IdentityReply {
  diskId @0 :Text;
  admitted @1 :Bool;
  voters @2 :List(VoterDisk);
}

struct StateRequest {}

struct StateReply {
  index @0 :UInt64;
  term @1 :UInt64;
  data @2 :Data;
}

struct Ballot {
  number @0 :UInt64;
  claimId @1 :Text;
}

struct Claim {
  holder @0 :Text;
  incarnation @1 :UInt64;
  requestId @2 :Text;
  digest @3 :Text;
  claimedAtMs @4 :UInt64;
  claimId @5 :Text;
}

struct ClaimPrepare {
  key @0 :Text;
  attempt @1 :UInt32;
  ballot @2 :Ballot;
}

struct ClaimAccept {
  key @0 :Text;
  attempt @1 :UInt32;
  ballot @2 :Ballot;
  claim @3 :Claim;
}

struct ClaimReply {
  granted @0 :Bool;
  promised @1 :Ballot;
  accepted @2 :Ballot;
  claim @3 :Claim;
  outcome @4 :Text;
  status @5 :UInt32;
  contentType @6 :Text;
  body @7 :Data;
}

struct ClaimOutcome {
  key @0 :Text;
  attempt @1 :UInt32;
  outcome @2 :Text;
  status @3 :UInt32;
  contentType @4 :Text;
  body @5 :Data;
  claimId @6 :Text;
  claimedAtMs @7 :UInt64;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Dispatch {
  requestId @0 :Text;
  account @1 :Text;
  service @2 :Text;
  kind @3 :Text;
  method @4 :Text;
  path @5 :Text;
  headers @6 :List(Header);
  body @7 :Data;
  timeoutMs @8 :UInt32;
  offset @9 :UInt64;
  model @10 :Bool;
  repeatable @11 :Bool;
  maxTokens @12 :UInt32;
  priority @13 :UInt32;
  prompt @14 :Text;
  mayWait @15 :Bool;
}

struct DispatchHead {
  status @0 :UInt32;
  headers @1 :List(Header);
  endpointId @2 :Text;
}

struct DispatchPiece {
  offset @0 :UInt64;
  tokens @1 :UInt32;
  data @2 :Data;
  finish @3 :Text;
}

struct OrderRequest {
  endpointId @0 :Text;
  action @1 :Text;
  fencing @2 :UInt64;
  groupId @3 :Text;
  service @4 :Text;
  model @5 :Text;
  modelVersion @6 :Text;
  rank @7 :UInt32;
  members @8 :List(Text);
  timeoutMs @9 :UInt32;
}

struct OrderReply {
  confirmed @0 :Bool;
  reason @1 :Text;
}

struct CreditRequest {
  pool @0 :Text;
  holder @1 :Text;
  incarnation @2 :UInt64;
  wanted @3 :UInt32;
  inUse @4 :UInt32;
}

struct CreditReply {
  granted @0 :UInt32;
  leaseMs @1 :UInt32;
}

struct AuditRequest { since @0 :UInt64; }

struct AuditReply { lines @0 :List(Text); }

struct KnownNode {
  nodeId @0 :Text;
  dataCentre @1 :Text;
  host @2 :Text;
  peerPort @3 :UInt16;
  roles @4 :List(Text);
}

struct NodesRequest {}

struct NodesReply { nodes @0 :List(KnownNode); }

struct Subscribe { tableVersion @0 :UInt64; }

struct Update { payload @0 :Data; }

struct EndpointNews { payload @0 :Data; }

struct Evidence { payload @0 :Data; }

struct EvidenceReply {
  payload @0 :Data;
  quarantine @1 :Data;
  share @2 :Data;
  limits @3 :Data;
}

struct DocumentRequest {}

struct DocumentReply {
  version @0 :UInt64;
  document @1 :Data;
}
