enum Kind { PLAIN = 1, RUSH = 2 }
struct Line { 1: i32 item, 2: double price, 3: bool rush, 4: optional string note }
struct Order {
  1: string key, 2: i32 deadline_ms, 3: list<Line> lines, 4: map<string, i64> counts, 5: set<i16> bays,
  6: binary token, 7: Kind kind, 8: map<i32, list<bool>> flags, 9: i8 small, 10: map<string, string> empty
}
exception Sold { 1: string why }
service Shop {
  Order look(1: Order order),
  i64 pay(1: Order order) throws (1: Sold sold),
  oneway void note(1: string text)
}
