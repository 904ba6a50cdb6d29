@0xc5d3a7e1b2f4968d;

# Messages between instances. Durations are in milliseconds, references are
# 64-bit hashes of upstream ids. `tools/generate.py` turns every struct into a
# dataclass in `messages_generated.py`.

enum MemberState {
  starting @0;
  live @1;
  leaving @2;
  suspect @3;
  dead @4;
}

struct AdoptedOwner {
  instance @0 :Text;
  incarnation @1 :UInt64;
}

# `neverHeld`: this incarnation has not held a share of any upstream so far.
struct MemberRecord {
  instance @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  state @3 :MemberState;
  zone @4 :Text;
  region @5 :Text;
  httpAddress @6 :Text;
  peerAddress @7 :Text;
  revision @8 :UInt64;
  adopted @9 :List(AdoptedOwner);
  listReadable @10 :Bool;
  neverHeld @11 :Bool;
}

struct Ping {
  sequence @0 :UInt64;
  records @1 :List(MemberRecord);
}

struct PingAck {
  sequence @0 :UInt64;
  records @1 :List(MemberRecord);
}

struct PingIndirect {
  sequence @0 :UInt64;
  target @1 :Text;
}

# With `repeats` n above 0, `upstreams` is empty and the upstreams are those of the
# request whose sequence is lower by n.
struct LeaseRequest {
  sequence @0 :UInt64;
  upstreams @1 :List(UInt64);
  repeats @2 :UInt32;
}

# Share bits in the order of the upstreams of the request with this sequence; none
# if the request repeats one that the holder does not know.
struct LeaseGrant {
  sequence @0 :UInt64;
  shareBits @1 :List(UInt8);
}

struct LeaseReturn {
  upstreams @0 :List(UInt64);
}

struct UpstreamLoad {
  upstream @0 :UInt64;
  inFlight @1 :UInt32;
  limit @2 :UInt32;
  cold @3 :Bool;
}

struct LoadDigest {
  sequence @0 :UInt64;
  loads @1 :List(UpstreamLoad);
}

struct CarriedLoad {
  loads @0 :List(UpstreamLoad);
  sequence @1 :UInt64;
}

# Asks the holder of a slot to give it back.
struct SlotRecall {
  slot @0 :UInt64;
}

struct ConfigurationNotice {
  revision @0 :UInt64;
  digest @1 :Data;
  relayed @2 :Bool;
}

# A reader's own reading of the instance list. Times are microseconds of the
# sender's monotonic clock.
struct ListNotice {
  readAt @0 :UInt64;
  digest @1 :Data;
}

struct Datagram {
  sender @0 :Text;
  incarnation @1 :UInt64;
  union {
    ping @2 :Ping;
    pingAck @3 :PingAck;
    pingIndirect @4 :PingIndirect;
    leaseRequest @5 :LeaseRequest;
    leaseGrant @6 :LeaseGrant;
    leaseReturn @7 :LeaseReturn;
    loadDigest @8 :LoadDigest;
    carriedLoad @9 :CarriedLoad;
    configurationNotice @10 :ConfigurationNotice;
    listNotice @11 :ListNotice;
    slotRecall @12 :SlotRecall;
  }
}

struct SlotRequest {
  requestKey @0 :Text;
  upstream @1 :Text;
  customer @2 :Text;
  priority @3 :UInt8;
  share @4 :UInt32;
  waitMs @5 :UInt32;
  deadlineMs @6 :UInt32;
  recallable @7 :Bool;
  resumed @8 :Bool;
}

struct SlotGrant {
  slot @0 :UInt64;
  startWithinMs @1 :UInt32;
}

enum SlotRefusalReason {
  overBound @0;
  queueFull @1;
  waitExpired @2;
  notHome @3;
  noShares @4;
  unavailable @5;
  overShare @6;
}

struct SlotRefusal {
  reason @0 :SlotRefusalReason;
  retryAfterMs @1 :UInt32;
}

enum SlotOutcome {
  completed @0;
  failed @1;
  refusedByUpstream @2;
  unused @3;
  recalled @4;
}

struct SlotRelease {
  slot @0 :UInt64;
  outcome @1 :SlotOutcome;
  firstByteMs @2 :UInt32;
  endedMsAgo @3 :UInt32;
}

struct Acknowledgement {
  accepted @0 :Bool;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct SubmitRequest {
  requestId @0 :Text;
  customer @1 :Text;
  method @2 :Text;
  path @3 :Text;
  headers @4 :List(Header);
  body @5 :Data;
  deadlineMs @6 :UInt32;
}

struct SubmitAnswer {
  status @0 :UInt16;
  headers @1 :List(Header);
  body @2 :Data;
}

struct MintRequest {
  count @0 :UInt32;
}

struct MintAnswer {
  requestIds @0 :List(Text);
}

struct ConfigurationFetch {
  revision @0 :UInt64;
  sections @1 :List(Data);
}

struct ConfigurationSection {
  name @0 :Text;
  digest @1 :Data;
  body @2 :Data;
}

struct ConfigurationSections {
  revision @0 :UInt64;
  manifest @1 :Data;
  sections @2 :List(ConfigurationSection);
}

# Names the digests of the lists that the sender has.
struct ListFetch {
  known @0 :List(Data);
}

# The answerer's last own reading; `clock` is its time of the answer. The body
# is left out if its digest is known, the digest if there was no reading.
struct ListReading {
  incarnation @0 :UInt64;
  clock @1 :UInt64;
  readAt @2 :UInt64;
  digest @3 :Data;
  body @4 :Data;
}

struct OwnedRecord {
  sequence @0 :UInt64;
  state @1 :UInt8;
  bodyDigest @2 :Data;
  status @3 :UInt16;
  headers @4 :List(Header);
  body @5 :Data;
}

struct HandoverTable {
  owner @0 :AdoptedOwner;
  floor @1 :UInt64;
  next @2 :UInt64;
  records @3 :List(OwnedRecord);
  last @4 :Bool;
}

struct Pending {
  elapsedMs @0 :UInt32;
}

struct Failure {
  type @0 :Text;
  message @1 :Text;
}

struct Frame {
  sender @0 :Text;
  incarnation @1 :UInt64;
  union {
    slotRequest @2 :SlotRequest;
    slotGrant @3 :SlotGrant;
    slotRefusal @4 :SlotRefusal;
    slotRelease @5 :SlotRelease;
    acknowledgement @6 :Acknowledgement;
    submitRequest @7 :SubmitRequest;
    submitAnswer @8 :SubmitAnswer;
    mintRequest @9 :MintRequest;
    mintAnswer @10 :MintAnswer;
    configurationFetch @11 :ConfigurationFetch;
    configurationSections @12 :ConfigurationSections;
    handoverTable @13 :HandoverTable;
    pending @14 :Pending;
    failure @15 :Failure;
    listFetch @16 :ListFetch;
    listReading @17 :ListReading;
  }
}
