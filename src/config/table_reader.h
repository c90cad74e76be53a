// Type-checked access to the fields of a TOML table. Internal to this directory.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#define TOML_EXCEPTIONS 0
#define TOML_HEADER_ONLY 1
#include <toml++/toml.h>

namespace beaconsill::config {

// Reads the fields of one table. If a required field is missing or a value is invalid, a getter throws
// ConfigError with a text that names the file and the full path of the field. The table and the string with
// the file's name must outlive the reader.
class TableReader {
 public:
  // `path` is the path of the table within the file and ends with a dot. It is empty for the root table.
  TableReader(const toml::table& table, const std::string& file, std::string path)
      : table_(table), file_(file), path_(std::move(path)) {}

  // Throws a ConfigError for `field`.
  [[noreturn]] void fail(std::string_view field, std::string_view reason) const;

  bool has(std::string_view field) const { return table_.get(field) != nullptr; }
  // Returns a string that isn't empty.
  std::string str(std::string_view field) const;
  std::string str_or(std::string_view field, const std::string& default_value) const;
  // Returns a finite number of at least 0.
  double number(std::string_view field) const;
  double number_or(std::string_view field, double default_value) const;
  // Returns a finite number greater than 0.
  double positive(std::string_view field) const;
  // Returns an integer of at least 1.
  std::size_t count(std::string_view field) const;
  TableReader table(std::string_view field) const;
  // Returns the tables of an array of tables; an empty vector if the field is missing.
  std::vector<TableReader> tables(std::string_view field) const;
  std::vector<std::string> strings(std::string_view field) const;

 private:
  const toml::node* require(std::string_view field) const;

  const toml::table& table_;
  const std::string& file_;
  std::string path_;
};

}  // namespace beaconsill::config
