"""HTTP/1.1 server and client on gevent sockets: a strict codec, messages kept byte for byte."""
