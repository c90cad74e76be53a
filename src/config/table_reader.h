// Checked access to a TOML table. Internal to this package.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#define TOML_EXCEPTIONS 0
#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

namespace beaconsill::config {

// Reads fields of one table. Every getter throws ConfigError, whose text names the file and the field's full
// path. The table and the file's name must outlive the reader.
class TableReader {
 public:
  // `path`: of the table in the file, with a dot at the end; empty for the root.
  TableReader(const toml::table& table, const std::string& file, std::string path)
      : table_(table), file_(file), path_(std::move(path)) {}

  [[noreturn]] void fail(std::string_view field, std::string_view reason) const;

  bool has(std::string_view field) const { return table_.get(field) != nullptr; }
  // A string that isn't empty.
  std::string str(std::string_view field) const;
  std::string str_or(std::string_view field, const std::string& otherwise) const;
  // A finite number of at least 0.
  double number(std::string_view field) const;
  double number_or(std::string_view field, double otherwise) const;
  double positive(std::string_view field) const;
  // A whole number of at least 1.
  std::size_t count(std::string_view field) const;
  TableReader table(std::string_view field) const;
  // A list of tables; none if the field is missing.
  std::vector<TableReader> tables(std::string_view field) const;
  std::vector<std::string> strings(std::string_view field) const;

 private:
  const toml::node* need(std::string_view field) const;

  const toml::table& table_;
  const std::string& file_;
  std::string path_;
};

}  // namespace beaconsill::config
