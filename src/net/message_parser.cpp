#include "net/message_parser.h"

namespace beaconsill::net {

MessageParser::MessageParser(http_parser_type type, Sink& sink) : type_(type), sink_(sink) {
  reset();
}

void MessageParser::reset() {
  http_parser_init(&parser_, type_);
  parser_.data = this;
  complete_ = false;
}

template <bool (MessageParser::Sink::*Function)(std::string_view)>
int MessageParser::forward(http_parser* parser, const char* data, std::size_t size) {
  return (self(parser).sink_.*Function)({data, size}) ? 0 : 1;
}

int MessageParser::on_complete(http_parser* parser) {
  self(parser).complete_ = true;
  // Stops the parser here, because messages are handled one at a time.
  http_parser_pause(parser, 1);
  return 0;
}

const http_parser_settings& MessageParser::settings() {
  static const http_parser_settings kSettings = [] {
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_url = &forward<&Sink::on_target>;
    settings.on_header_field = &forward<&Sink::on_header_field>;
    settings.on_header_value = &forward<&Sink::on_header_value>;
    settings.on_body = &forward<&Sink::on_body>;
    settings.on_message_complete = &on_complete;
    return settings;
  }();
  return kSettings;
}

MessageParser::Progress MessageParser::parse(std::string_view bytes) {
  complete_ = false;
  const std::size_t consumed = http_parser_execute(&parser_, &settings(), bytes.data(), bytes.size());
  if (complete_) {
    // Resumes the parser for the next message. `consumed` includes the last byte of this one.
    http_parser_pause(&parser_, 0);
    return {Status::kComplete, consumed};
  }
  const bool well_formed = HTTP_PARSER_ERRNO(&parser_) == HPE_OK && !parser_.upgrade;
  return {well_formed ? Status::kIncomplete : Status::kMalformed, consumed};
}

}  // namespace beaconsill::net
