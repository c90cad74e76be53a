// The cases, by name. Each plays its scenario in a world of its own.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "platform.h"

namespace standin {

struct CaseArguments {
  std::string run, record;
  bool trouble;
  std::vector<std::string> more;
};
using Case = std::function<int(const CaseArguments&)>;
std::map<std::string, Case>& all_cases();
struct Register {
  Register(const std::string& name, Case play) { all_cases()[name] = std::move(play); }
};

}  // namespace standin
