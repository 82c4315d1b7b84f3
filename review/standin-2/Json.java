import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers and booleans. */
final class Json {
    private final String text;
    private int at;

    private Json(String text) {
        this.text = text;
    }

    static Object read(String text) {
        Json json = new Json(text);
        return json.value();
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> readMap(String text) {
        return (Map<String, Object>) read(text);
    }

    /** A map from alternating names and values. */
    static Map<String, Object> map(Object... entries) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < entries.length; i += 2) {
            map.put((String) entries[i], entries[i + 1]);
        }
        return map;
    }

    static String text(Map<String, Object> map, String name) {
        Object value = map.get(name);
        return value == null ? "" : value.toString();
    }

    static long number(Map<String, Object> map, String name) {
        Object value = map.get(name);
        return value instanceof Number number ? number.longValue() : 0;
    }

    @SuppressWarnings("unchecked")
    static List<Map<String, Object>> maps(Map<String, Object> map, String name) {
        Object value = map.get(name);
        return value == null ? List.of() : (List<Map<String, Object>>) value;
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String comma = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(comma);
                write(entry.getKey(), out);
                out.append(':');
                write(entry.getValue(), out);
                comma = ",";
            }
            out.append('}');
        } else if (value instanceof List<?> list) {
            out.append('[');
            String comma = "";
            for (Object element : list) {
                out.append(comma);
                write(element, out);
                comma = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            writeString(string, out);
        } else {
            out.append(value);
        }
    }

    private static void writeString(String string, StringBuilder out) {
        out.append('"');
        for (char c : string.toCharArray()) {
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ') {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        out.append('"');
    }

    private char next() {
        while (text.charAt(at) <= ' ') {
            at++;
        }
        return text.charAt(at);
    }

    private Object value() {
        char c = next();
        switch (c) {
            case '{':
                return object();
            case '[':
                return array();
            case '"':
                return string();
            case 't':
                at += 4;
                return true;
            case 'f':
                at += 5;
                return false;
            case 'n':
                at += 4;
                return null;
            default:
                return number();
        }
    }

    private Map<String, Object> object() {
        Map<String, Object> map = new LinkedHashMap<>();
        at++;
        while (next() != '}') {
            String name = string();
            next();
            at++;
            map.put(name, value());
            if (next() == ',') {
                at++;
                next();
            }
        }
        at++;
        return map;
    }

    private List<Object> array() {
        List<Object> list = new ArrayList<>();
        at++;
        while (next() != ']') {
            list.add(value());
            if (next() == ',') {
                at++;
            }
        }
        at++;
        return list;
    }

    private String string() {
        StringBuilder out = new StringBuilder();
        at++;
        while (text.charAt(at) != '"') {
            char c = text.charAt(at++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(at++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
                    at += 4;
                }
                default -> out.append(escaped);
            }
        }
        at++;
        return out.toString();
    }

    private Number number() {
        int from = at;
        while (at < text.length() && "+-.eE0123456789".indexOf(text.charAt(at)) >= 0) {
            at++;
        }
        String digits = text.substring(from, at);
        boolean whole = digits.matches("-?[0-9]+");
        if (whole) {
            return Long.parseLong(digits);
        }
        return Double.parseDouble(digits);
    }
}
