@0xd4c1a7be0f3e5a91;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("beaconsill::peer");

# One message between two controllers. All of them only make things quick: losing or repeating any of them
# breaks nothing, the state store and the agents hold the truth.
#
# Ordinals and types never change: controllers of several versions run side by side. Names aren't sent.
struct Message {
  from @0 :Text;
  union {
    heartbeat @1 :Heartbeat;
    changeNotification @2 :ChangeNotification;
    estimateRequest @3 :EstimateRequest;
    estimateResponse @4 :EstimateResponse;
    summary @5 :Summary;
    releaseMachines @6 :Machines;
    terminatedMachines @7 :Machines;
    relayedHeartbeat @8 :RelayedHeartbeat;
    relayedReply @9 :RelayedReply;
    progressReport @10 :ProgressReport;
  }
}

struct Heartbeat {
  # The sender has acknowledged to no user a cancellation that is newer than this revision. 2^64-1: not known
  # yet. Only for receivers of a version without `cancellationSync`: they take an echoed heartbeat as proof that
  # they know all cancellations if this revision isn't above what they have read. So it covers the earlier
  # processes of the sender too, and such a receiver needs no read lease.
  acknowledgedRevision @0 :UInt64;
  # The sender accepts no machine of this shard under a term lower than the one given.
  terms @1 :List(ShardTerm);
  # Numbers this heartbeat, and gives the last number received: what the sender states here it stated after the
  # receiver had sent that one. Without it a message that was held up would pass for fresh.
  sequence @2 :UInt64;
  echo @3 :UInt64;
  # The sender's own requests to the state store succeed.
  reachesStateStore @4 :Bool;
  # Absent in heartbeats of versions before it: their senders acknowledge cancellations to users without asking
  # anybody, so such a heartbeat proves nothing beyond the time of what it echoes.
  cancellationSync @5 :CancellationSync;
}

# What the receiver may conclude about cancelled jobs that the sender has acknowledged to users or will
# acknowledge. The echo of a heartbeat confirms all that its `cancelled` holds.
struct CancellationSync {
  # The sender has read the whole state store since it started, and acknowledges nothing before that.
  ready @0 :Bool;
  # The sender has read all changes up to this revision; 0 while it isn't ready.
  readRevision @1 :UInt64;
  # A read lease, in milliseconds: for so long after this was sent, the sender acknowledges no cancellation that
  # the receiver hasn't confirmed.
  readLeaseMs @2 :UInt32;
  # The receiver has all cancellations that the sender knows, once it has those in `cancelled`.
  complete @3 :Bool;
  # Cancellations that the receiver isn't known to have, the oldest first; a bounded number.
  cancelled @4 :List(CancelledJob);
}

# The record of a job's cancellation in the state store.
struct CancelledJob {
  job @0 :Text;
  revision @1 :UInt64;
  # Tasks that had completed.
  done @2 :UInt32;
}

struct ShardTerm {
  shard @0 :UInt32;
  term @1 :UInt64;
}

# The state store has changes up to this revision that the receiver should read.
struct ChangeNotification {
  revision @0 :UInt64;
}

# What a task needs, and where it may run.
struct ResourceRequest {
  cpus @0 :Float64;
  gpus @1 :Float64;
  memoryGb @2 :Float64;
  anyType @3 :Bool;
  types @4 :List(Text);
  zone @5 :Text;
  spot @6 :Bool;
  image @7 :Text;
  priority @8 :UInt8;
  # No more tasks than this need to be counted.
  wanted @9 :UInt32;
}

# Asks for how many tasks of each kind the shard has capacity.
struct EstimateRequest {
  round @0 :UInt64;
  resourceRequests @1 :List(ResourceRequest);
}

# For how many tasks a zone has capacity.
struct ZoneCapacity {
  zone @0 :Text;
  free @1 :UInt32;
  # Of the free, on machines that hold the image already.
  imageCached @2 :UInt32;
  # Further capacity if work of lower priority were preempted.
  preemptible @3 :UInt32;
  # Of the preemptible, on machines that hold the image already.
  imageCachedPreemptible @4 :UInt32;
}

struct EstimateResponse {
  round @0 :UInt64;
  shard @1 :UInt32;
  term @2 :UInt64;
  # Grants up to this revision were known when the shard made the estimate.
  seenRevision @3 :UInt64;
  # One for each resource request.
  capacities @4 :List(CapacityByZone);
}

struct CapacityByZone {
  zones @0 :List(ZoneCapacity);
}

# The machines of a shard and what runs there.
struct Summary {
  shard @0 :UInt32;
  term @1 :UInt64;
  seenRevision @2 :UInt64;
  machines @3 :List(MachineCapacity);
  running @4 :List(JobCount);
  # A summary that outgrows a frame goes in several messages, numbered from 0; `more` follow. Versions without
  # these fields send a single one.
  page @5 :UInt32;
  more @6 :Bool;
}

# A machine and what is free there.
struct MachineCapacity {
  name @0 :Text;
  type @1 :Text;
  zone @2 :Text;
  spot @3 :Bool;
  cpus @4 :Float64;
  gpus @5 :Float64;
  memoryGb @6 :Float64;
  idleS @7 :Float64;
  usable @8 :Bool;
}

# The tasks of a job that run in the shard.
struct JobCount {
  job @0 :Text;
  running @1 :UInt32;
}

# An agent's heartbeat, as it came, to the leader of its shard: the agent may be unable to reach that leader.
struct RelayedHeartbeat {
  id @0 :UInt64;
  heartbeat @1 :Text;
}

# The shard leader's reply, to be passed on as it is.
struct RelayedReply {
  id @0 :UInt64;
  # Of HTTP.
  status @1 :UInt16;
  body @2 :Text;
}

# What became of tasks granted to a shard, as far as its record may not hold it yet.
struct ProgressReport {
  shard @0 :UInt32;
  term @1 :UInt64;
  jobs @2 :List(JobProgress);
}

struct JobProgress {
  job @0 :Text;
  # Sets of task numbers as in the state store.
  done @1 :Text;
  released @2 :List(ReleasedTasks);
  # What the shard leader has newly found out about a job of which tasks failed. Sent once, and not repeated if
  # it's lost; versions before it send nothing.
  health @3 :JobHealth;
}

enum JobHealth {
  none @0;
  # Its tasks fail on several machines, and none is known to work.
  fails @1;
  # It was taken to fail, but some task has completed or runs well.
  works @2;
}

struct ReleasedTasks {
  generation @0 :UInt64;
  tasks @1 :Text;
}

struct Machines {
  names @0 :List(Text);
}
