#include "api/api.h"

#include <gtest/gtest.h>

#include "api/admission.h"

namespace beaconsill::api {
namespace {

TEST(Admission, WhatCanNeverRunAndWhatCannotBeDecidedYet) {
  config::Settings settings;
  settings.teams = {{Team("blue"), 10, 20, 0, 0}, {Team("free"), 0, 0, 0, 0}};
  wire::Catalogue catalogue;
  catalogue[MachineType("t4")] = {MachineType("t4"), {4, 0, 16}, 10, 0.1, 1, 0.5, 20, {Zone("a")}};
  catalogue[MachineType("g8")] = {MachineType("g8"), {8, 2, 64}, 10, 0.1, 1, 0.5, 20, {Zone("b")}};
  using Kind = Verdict::Kind;
  struct Case {
    const char* what;
    std::function<void(wire::JobSpec&)> change;
    bool catalogue_known;
    Kind kind;
  };
  const Case cases[] = {
      {"fits", [](auto&) {}, true, Kind::kAccept},
      {"unknown team", [](auto& s) { s.team = Team("red"); }, true, Kind::kNever},
      {"unknown team, types not known", [](auto& s) { s.team = Team("red"); }, false, Kind::kNever},
      {"types not known", [](auto&) {}, false, Kind::kNotYet},
      {"too large", [](auto& s) { s.each.cpus = 9; }, true, Kind::kNever},
      {"too much memory", [](auto& s) { s.each.memory_gb = 65; }, true, Kind::kNever},
      {"type too small", [](auto& s) { s.each.cpus = 5, s.types = std::vector{MachineType("t4")}; }, true,
       Kind::kNever},
      {"unknown type", [](auto& s) { s.types = std::vector{MachineType("x")}; }, true, Kind::kNever},
      {"type not in the zone", [](auto& s) { s.zone = Zone("a"), s.types = std::vector{MachineType("g8")}; },
       true, Kind::kNever},
      {"unknown zone", [](auto& s) { s.zone = Zone("q"); }, true, Kind::kNever},
      {"array over the limit in all, one task fits", [](auto& s) { s.tasks = 1000; }, true, Kind::kAccept},
      {"array task over the limit", [](auto& s) { s.each.cpus = 21; }, true, Kind::kNever},
      {"service over the limit", [](auto& s) { s.tasks = 21, s.kind = JobKind::kService; }, true,
       Kind::kNever},
      {"service at the limit", [](auto& s) { s.tasks = 20, s.kind = JobKind::kService; }, true,
       Kind::kAccept},
      {"no limit", [](auto& s) { s.tasks = 1000, s.kind = JobKind::kService, s.team = Team("free"); }, true,
       Kind::kAccept},
  };
  for (const auto& c : cases) {
    wire::JobSpec s;
    s.team = Team("blue");
    s.tasks = 1;
    s.each = {1, 0, 1};
    c.change(s);
    EXPECT_EQ(admit(s, settings, c.catalogue_known ? &catalogue : nullptr).kind, c.kind) << c.what;
  }
}

}  // namespace
}  // namespace beaconsill::api
