#include "config/table_reader.h"

#include <cmath>
#include <utility>

#include "config/settings.h"

namespace beaconsill::config {

void TableReader::fail(std::string_view field, std::string_view reason) const {
  throw ConfigError(file_ + ": " + path_ + std::string(field) + ": " + std::string(reason));
}

const toml::node* TableReader::require(std::string_view field) const {
  const auto* node = table_.get(field);
  if (!node) fail(field, "is missing");
  return node;
}

std::string TableReader::str(std::string_view field) const {
  const auto* node = require(field);
  if (!node->is_string()) fail(field, "must be a string");
  auto text = **node->as_string();
  if (text.empty()) fail(field, "must not be empty");
  return text;
}

std::string TableReader::str_or(std::string_view field, const std::string& default_value) const {
  return has(field) ? str(field) : default_value;
}

double TableReader::number(std::string_view field) const {
  const auto* node = require(field);
  double value = 0;
  if (const auto* floating = node->as_floating_point()) {
    value = **floating;
  } else if (const auto* integer = node->as_integer()) {
    value = static_cast<double>(**integer);
  } else {
    fail(field, "must be a number");
  }
  if (!std::isfinite(value) || value < 0) fail(field, "must be a finite number of at least 0");
  return value;
}

double TableReader::number_or(std::string_view field, double default_value) const {
  return has(field) ? number(field) : default_value;
}

double TableReader::positive(std::string_view field) const {
  const double value = number(field);
  if (value <= 0) fail(field, "must be greater than 0");
  return value;
}

std::size_t TableReader::count(std::string_view field) const {
  const auto* integer = require(field)->as_integer();
  if (!integer || **integer < 1) fail(field, "must be an integer of at least 1");
  return static_cast<std::size_t>(**integer);
}

TableReader TableReader::table(std::string_view field) const {
  const auto* node = require(field);
  if (!node->is_table()) fail(field, "must be a table");
  return {*node->as_table(), file_, path_ + std::string(field) + "."};
}

std::vector<TableReader> TableReader::tables(std::string_view field) const {
  std::vector<TableReader> readers;
  const auto* node = table_.get(field);
  if (!node) return readers;
  if (!node->is_array()) fail(field, "must be an array of tables");
  std::size_t index = 0;
  for (const auto& element : *node->as_array()) {
    const auto name = std::string(field) + "[" + std::to_string(index++) + "]";
    if (!element.is_table()) fail(name, "must be a table");
    readers.emplace_back(*element.as_table(), file_, path_ + name + ".");
  }
  return readers;
}

std::vector<std::string> TableReader::strings(std::string_view field) const {
  std::vector<std::string> texts;
  const auto* node = require(field);
  if (!node->is_array()) fail(field, "must be an array of strings");
  for (const auto& element : *node->as_array()) {
    if (!element.is_string()) fail(field, "must contain only strings");
    texts.push_back(**element.as_string());
  }
  return texts;
}

}  // namespace beaconsill::config
