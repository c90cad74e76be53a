// The JSON field names of the protocols with users, workers, the cloud and the state store. The names are
// fixed by the protocols. The constants are named in the usual terms of cluster scheduling, so that other
// code needn't use the names of the protocols.
#pragma once

namespace beaconsill::protocol::field {

// Used by several protocols.
inline constexpr char kId[] = "ref";
inline constexpr char kState[] = "bearing";
inline constexpr char kAddress[] = "address";
inline constexpr char kCpus[] = "vcpus";
inline constexpr char kGpus[] = "cards";
inline constexpr char kMemoryGb[] = "memoryGb";
inline constexpr char kMachine[] = "beacon";
inline constexpr char kMachines[] = "beacons";
inline constexpr char kMachineType[] = "hull";
inline constexpr char kMachineTypes[] = "hulls";
inline constexpr char kMore[] = "more";
inline constexpr char kSpot[] = "driftwood";
inline constexpr char kTask[] = "lamp";
inline constexpr char kTasks[] = "lamps";  // in a job: the number of tasks; in a heartbeat: the list of tasks
inline constexpr char kZone[] = "harbour";
inline constexpr char kZones[] = "harbours";

// Users: jobs and their status.
inline constexpr char kCheckpointS[] = "markS";
inline constexpr char kDeadlineS[] = "tideS";
inline constexpr char kDependsOn[] = "awaits";
inline constexpr char kDone[] = "done";
inline constexpr char kError[] = "error";
inline constexpr char kEstimateS[] = "reckonS";
inline constexpr char kImage[] = "cargo";
inline constexpr char kImageGb[] = "sizeGb";
inline constexpr char kJobClass[] = "berth";
inline constexpr char kJobKind[] = "shape";
inline constexpr char kOneZone[] = "together";
inline constexpr char kPriority[] = "precedence";
inline constexpr char kRunning[] = "running";
inline constexpr char kSaveS[] = "stowS";
inline constexpr char kSpread[] = "scatter";
inline constexpr char kTeam[] = "crew";

// Workers: heartbeats and commands.
inline constexpr char kAttempt[] = "launch";
inline constexpr char kCause[] = "cause";
inline constexpr char kCommand[] = "signal";
inline constexpr char kCommands[] = "signals";
inline constexpr char kFencingToken[] = "helm";
inline constexpr char kGraceS[] = "dousingS";
inline constexpr char kIncarnation[] = "watch";
inline constexpr char kSaved[] = "stored";
inline constexpr char kSequence[] = "tally";
inline constexpr char kShardLeader[] = "keeper";
inline constexpr char kTerminationNoticeS[] = "recallS";

// The cloud: machine types and machines.
inline constexpr char kAgeS[] = "heldS";
inline constexpr char kBootS[] = "readyS";
inline constexpr char kCacheGb[] = "localGb";
inline constexpr char kCount[] = "count";
inline constexpr char kFetchGbPerS[] = "pullGbPerS";
inline constexpr char kPrice[] = "hourly";
inline constexpr char kRequestId[] = "charter";
inline constexpr char kSpotPrice[] = "lowPrice";
inline constexpr char kTypeName[] = "sku";

// The state store: keys, transactions and leases.
inline constexpr char kChanges[] = "news";
inline constexpr char kConditions[] = "when";
inline constexpr char kDelete[] = "drop";
inline constexpr char kItems[] = "rows";
inline constexpr char kKey[] = "path";
inline constexpr char kLease[] = "moorage";
inline constexpr char kPut[] = "set";
inline constexpr char kRevision[] = "logline";  // the revision of the whole store
inline constexpr char kTtlMs[] = "ttlMs";
inline constexpr char kValue[] = "v";
inline constexpr char kVersion[] = "entry";  // the revision at which the key was last written
inline constexpr char kWrites[] = "writes";

}  // namespace beaconsill::protocol::field
