// usage: stand-ins-2 CASE RUN RECORD
// Plays a case of the second review. RUN: `run` of the deploy file. Exit status: 0 the rule held, 1 it was broken,
// 2 the case couldn't run.
#include <signal.h>

#include <cstdlib>
#include <iostream>
#include <map>

#include "cases.h"

int main(int argc, char** argv) {
  if (argc < 4) return 2;
  signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  standin::CaseArguments arguments{argv[2], argv[3], !(trouble && std::string(trouble) == "0"), {}};
  for (int i = 4; i < argc; ++i) arguments.more.push_back(argv[i]);
  auto& cases = standin::all_cases();
  auto it = cases.find(argv[1]);
  if (it == cases.end()) return 2;
  try {
    return it->second(arguments);
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n';
    return 2;
  }
}
