@0xd4c1a7be0f3e5a91;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("beaconsill::peer");

# A message between two controllers. Messages only reduce latency: losing or repeating any of them is
# harmless, because the state store and the workers are the source of truth.
#
# Ordinals and types never change, because controllers of several versions run at the same time. Names are not
# part of the encoding.
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
  # The sender has not acknowledged to any user a cancellation that is newer than this revision. The value
  # 2^64-1 means that the revision is not known yet. Only receivers of versions without `cancellationSync`
  # use this field: such a receiver concludes from an echoed heartbeat that it knows all cancellations if it
  # has read the state store at least up to this revision. The revision therefore also covers the earlier
  # processes of the sender, and such a receiver needs no read lease.
  acknowledgedRevision @0 :UInt64;
  # The shards that the sender leads, each with its term. This supersedes a receiver that leads one of these
  # shards under a lower term.
  terms @1 :List(ShardTerm);
  # The number of this heartbeat, and the number of the last heartbeat that the sender received from the
  # receiver (`echo`). The echo proves that this heartbeat was sent after the echoed one. Without it, a
  # delayed message would be treated as recent.
  sequence @2 :UInt64;
  echo @3 :UInt64;
  # Whether the sender's own requests to the state store succeed.
  reachesStateStore @4 :Bool;
  # Absent in heartbeats of versions that do not support it. Controllers of those versions acknowledge
  # cancellations to users without confirmation from other controllers, so such a heartbeat proves nothing
  # beyond the time at which the echoed heartbeat was sent.
  cancellationSync @5 :CancellationSync;
}

# Informs the receiver about cancellations that the sender has acknowledged to users or will acknowledge.
# When the receiver echoes a heartbeat, it confirms that it has received all entries of its `cancelled`
# list.
struct CancellationSync {
  # The sender has read the whole state store since it started. It acknowledges no cancellations before that.
  ready @0 :Bool;
  # The sender has read all changes up to this revision. 0 while `ready` is false.
  readRevision @1 :UInt64;
  # The duration of a read lease, in milliseconds. For this long after sending the heartbeat, the sender
  # does not acknowledge to users any cancellation that the receiver has not confirmed.
  readLeaseMs @2 :UInt32;
  # With the entries of `cancelled`, the receiver has all cancellations that the sender knows.
  complete @3 :Bool;
  # Cancellations that the receiver has not confirmed, oldest first. Their number is limited.
  cancelled @4 :List(CancelledJob);
}

# The record of a job's cancellation in the state store.
struct CancelledJob {
  job @0 :Text;
  revision @1 :UInt64;
  # The number of tasks that had completed.
  done @2 :UInt32;
}

struct ShardTerm {
  shard @0 :UInt32;
  term @1 :UInt64;
}

# Notifies the receiver that the state store has changes up to this revision, which it should read.
struct ChangeNotification {
  revision @0 :UInt64;
}

# The resources that a task requires, and the machines that it may use.
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
  # The estimate may stop counting at this number of tasks.
  wanted @9 :UInt32;
}

# Asks the shards led by the receiver how many tasks of each resource request they have capacity for.
struct EstimateRequest {
  round @0 :UInt64;
  resourceRequests @1 :List(ResourceRequest);
}

# The capacity of one zone of a shard for a resource request, in tasks.
struct ZoneCapacity {
  zone @0 :Text;
  free @1 :UInt32;
  # The part of `free` that is on machines with the image in their cache.
  imageCached @2 :UInt32;
  # Capacity in addition to `free` if tasks of lower priority were preempted.
  preemptible @3 :UInt32;
  # The part of `preemptible` that is on machines with the image in their cache.
  imageCachedPreemptible @4 :UInt32;
}

struct EstimateResponse {
  round @0 :UInt64;
  shard @1 :UInt32;
  term @2 :UInt64;
  # The estimate includes all grants up to this revision.
  seenRevision @3 :UInt64;
  # One entry for each resource request, in the same order.
  capacities @4 :List(CapacityByZone);
}

struct CapacityByZone {
  zones @0 :List(ZoneCapacity);
}

# The machines of a shard and the tasks that run on them.
struct Summary {
  shard @0 :UInt32;
  term @1 :UInt64;
  # The summary includes all grants up to this revision.
  seenRevision @2 :UInt64;
  machines @3 :List(MachineCapacity);
  running @4 :List(JobCount);
  # A summary that does not fit into one frame is sent as several messages. `page` is the number of the
  # message, from 0; `more` is true for all but the last one. Versions without these fields send a single
  # message.
  page @5 :UInt32;
  more @6 :Bool;
}

# A machine and its free resources.
struct MachineCapacity {
  name @0 :Text;
  type @1 :Text;
  zone @2 :Text;
  spot @3 :Bool;
  cpus @4 :Float64;
  gpus @5 :Float64;
  memoryGb @6 :Float64;
  # Seconds since the machine had tasks; 0 while it has any.
  idleS @7 :Float64;
  # Whether tasks may be started on the machine.
  usable @8 :Bool;
}

# The number of tasks of a job that run in the shard.
struct JobCount {
  job @0 :Text;
  running @1 :UInt32;
}

# A worker's heartbeat, forwarded unchanged to the leader of the worker's shard, because the worker may be
# unable to reach that leader itself.
struct RelayedHeartbeat {
  id @0 :UInt64;
  heartbeat @1 :Text;
}

# The shard leader's response to a relayed heartbeat, to be forwarded to the worker unchanged.
struct RelayedReply {
  id @0 :UInt64;
  # The HTTP status code.
  status @1 :UInt16;
  body @2 :Text;
}

# The progress of tasks granted to a shard, as far as the shard's record in the state store may not include
# it yet.
struct ProgressReport {
  shard @0 :UInt32;
  term @1 :UInt64;
  jobs @2 :List(JobProgress);
}

struct JobProgress {
  job @0 :Text;
  # The completed tasks, as a set of task numbers in the format of the state store. `tasks` in ReleasedTasks
  # has the same format.
  done @1 :Text;
  released @2 :List(ReleasedTasks);
  # A new finding of the shard leader about a job of which tasks have failed. It is sent once, and not
  # repeated if the message is lost. Versions that do not support this field omit it.
  health @3 :JobHealth;
}

enum JobHealth {
  none @0;
  # Tasks of the job fail on several machines, and none is known to work.
  fails @1;
  # The job was considered failing, but one of its tasks has completed or runs well.
  works @2;
}

struct ReleasedTasks {
  generation @0 :UInt64;
  tasks @1 :Text;
}

struct Machines {
  names @0 :List(Text);
}
