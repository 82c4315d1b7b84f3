package org.quetzalscale.daemon.settings;

/** Generates the table of settings for docs/settings.md. */
public final class SettingsPage {
    private static final String EMPTY = "empty";

    private SettingsPage() {}

    /** Prints the table to standard output. */
    public static void main(String[] args) {
        System.out.print(table());
    }

    /** The table in Markdown, one row for each setting. */
    public static String table() {
        StringBuilder text =
                new StringBuilder(
                        "| flag | environment variable | default | unit | allowed | secret |"
                                + " description |\n|---|---|---|---|---|---|---|\n");
        for (Setting setting : Setting.values()) {
            String value = setting.defaultValue();
            text.append("| `")
                    .append(setting.flag())
                    .append("` | `")
                    .append(setting.environmentVariable())
                    .append("` | ")
                    .append(value.isEmpty() ? EMPTY : "`" + value + "`")
                    .append(" | ")
                    .append(setting.unit().isEmpty() ? "-" : setting.unit())
                    .append(" | ")
                    .append(setting.allowed())
                    .append(" | ")
                    .append(setting.secret() ? "yes" : "no")
                    .append(" | ")
                    .append(setting.description())
                    .append(" |\n");
        }
        return text.toString();
    }
}
