// HTTP/1.1 parser for the server and the client, which wraps the http_parser library. Internal to this
// directory.
#pragma once

#include <http_parser.h>

#include <cstddef>
#include <string_view>

namespace beaconsill::net {

// Parses the messages of a connection one after the other. Not thread-safe.
class MessageParser {
 public:
  // Receives the parts of a message while it is parsed. Each part can arrive in several chunks. A function
  // returns false to reject the message.
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
    kMalformed,  // the message is malformed, or the sink rejected it
  };

  struct Progress {
    Status status = Status::kIncomplete;
    std::size_t consumed = 0;  // number of bytes parsed; excludes bytes after a complete message
  };

  // `type` is HTTP_REQUEST or HTTP_RESPONSE. The sink must outlive the parser.
  MessageParser(http_parser_type type, Sink& sink);
  MessageParser(const MessageParser&) = delete;
  MessageParser& operator=(const MessageParser&) = delete;
  ~MessageParser() = default;

  // Resets the parser, which then expects the start of a message.
  void reset();
  // Parses `bytes` up to the end of the current message.
  Progress parse(std::string_view bytes);

  // Properties of the last message. Valid after parse() has returned kComplete.
  bool keep_alive() const { return http_should_keep_alive(&parser_) != 0; }
  int status_code() const { return static_cast<int>(parser_.status_code); }
  const char* method() const { return http_method_str(static_cast<http_method>(parser_.method)); }

 private:
  static const http_parser_settings& settings();
  static MessageParser& self(http_parser* parser) { return *static_cast<MessageParser*>(parser->data); }
  // Callback for the library that forwards the data to one of the sink's functions.
  template <bool (Sink::*Function)(std::string_view)>
  static int forward(http_parser* parser, const char* data, std::size_t size);
  static int on_complete(http_parser* parser);

  http_parser_type type_;
  Sink& sink_;
  http_parser parser_{};
  bool complete_ = false;
};

}  // namespace beaconsill::net
