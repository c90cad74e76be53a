// Pairs a parsed value from the state store with the revision that wrote it.
#pragma once

#include "protocol/state_store.h"

namespace beaconsill::state_store {

template <class T>
struct Versioned {
  T value{};
  Revision revision;  // 0 if the key doesn't exist
  bool exists() const { return revision.value() != 0; }
};

// Applies the change if it is newer than the entry, and returns whether it was. If `parse` throws, the
// exception propagates and the entry stays unchanged.
template <class T, class Parse>
bool update(Versioned<T>& entry, const protocol::Change& change, Parse parse) {
  if (change.revision <= entry.revision) return false;
  if (change.value) {
    entry.value = parse(*change.value);
    entry.revision = change.revision;
  } else {
    entry = {};
  }
  return true;
}

}  // namespace beaconsill::state_store
