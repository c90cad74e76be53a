// The HTTP/1.1 parser of server and client: a wrapper of the http_parser library. Internal to this package.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <string_view>

namespace beaconsill::net {

// Parses one message after the other. Not thread-safe.
class MessageParser {
 public:
  // What receives the message while it is parsed, in chunks as they come. Each returns false to refuse it.
  class Sink {
   public:
    virtual ~Sink() = default;
    virtual bool on_target(std::string_view) { return true; }
    virtual bool on_header_field(std::string_view) { return true; }
    virtual bool on_header_value(std::string_view) { return true; }
    virtual bool on_body(std::string_view) { return true; }
  };

  enum class Status {
    kIncomplete,  // more bytes are needed
    kComplete,
    kMalformed,  // or refused by the sink
  };

  struct Progress {
    Status status = Status::kIncomplete;
    std::size_t consumed = 0;  // bytes; those after a complete message are left
  };

  // `type`: HTTP_REQUEST or HTTP_RESPONSE. The sink must outlive the parser.
  MessageParser(http_parser_type type, Sink& sink);
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;
  ~MessageParser() = default;

  // Begins anew, for the first message of a connection.
  void reset();
  Progress parse(std::string_view bytes);

  // Of a complete message.
  bool keep_alive() const { return http_should_keep_alive(&parser_) != 0; }
  int status_code() const { return static_cast<int>(parser_.status_code); }
  const char* method() const { return http_method_str(static_cast<http_method>(parser_.method)); }

 private:
  static const http_parser_settings& settings();
  static MessageParser& self(http_parser* parser) { return *static_cast<MessageParser*>(parser->data); }
  // The library's callback for one of the sink's functions.
  template <bool (Sink::*Function)(std::string_view)>
  static int forward(http_parser* parser, const char* data, std::size_t size);
  static int on_complete(http_parser* parser);

  http_parser_type type_;
  Sink& sink_;
  http_parser parser_{};
  bool complete_ = false;
};

}  // namespace beaconsill::net
