"""Where endpoints come from: sources that tell lists, and how several are joined into one picture."""
