"""Which class and which pool of endpoints a request belongs to. Pure: no sockets, no files, no clock."""
