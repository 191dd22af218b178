package org.banyanstile.tools.burn;

import java.time.Instant;
import java.util.List;
import java.util.Locale;

import org.banyanstile.config.api.BurnCause;
import org.banyanstile.config.api.BurnWindow;

/**
 * Report as a self-contained HTML page.
 *
 * @author banyanstile contributors
 */
public final class BurnPage {

	/**
	 * Groups per table. A fleet can have thousands of teams; the JSON output contains all
	 * of them.
	 */
	private static final int MAX_GROUPS = 50;

	private static final String STYLE = """
			body{font:14px system-ui,sans-serif;margin:2em;max-width:75em;color:#222;background:#fff}
			table{border-collapse:collapse;margin:0 0 2em}
			th,td{padding:.3em .9em .3em 0;text-align:left;border-bottom:1px solid #ddd;vertical-align:middle}
			td.n,th.n{text-align:right}
			tr.over td:first-child{font-weight:bold}
			svg{background:#f5f5f5}
			svg text{font-size:10px;fill:#222}
			line.one{stroke:#222;stroke-width:1;stroke-dasharray:3 3}
			.key{display:inline-block;width:.8em;height:.8em;margin-right:.4em}
			""";

	private final StringBuilder html = new StringBuilder();

	private final BurnSummary summary;

	private BurnPage(BurnSummary summary) {
		this.summary = summary;
	}

	/**
	 * Renders the report.
	 * @param summary the counts
	 * @param missing error message for each VM that did not respond
	 * @return the HTML text
	 */
	public static String render(BurnSummary summary, List<String> missing) {
		BurnPage page = new BurnPage(summary);
		page.addHead(missing);
		for (BurnDimension dimension : BurnDimension.values()) {
			page.addTable(dimension, summary.groups(dimension));
		}
		return page.html.append("</body></html>\n").toString();
	}

	private void addHead(List<String> missing) {
		this.html.append("<!DOCTYPE html><html lang=\"en\"><head><meta charset=\"utf-8\">")
			.append("<title>Use of error budget</title><style>")
			.append(STYLE);
		for (BurnCause cause : BurnCause.values()) {
			String colour = BurnStyle.colour(cause);
			this.html.append(String.format(".%s{fill:%s;background:%s}%n", BurnStyle.cssClass(cause), colour, colour));
		}
		this.html.append("</style></head><body><h1>Use of error budget</h1><p>")
			.append(Instant.ofEpochMilli(this.summary.atMillis()))
			.append(", counts of ")
			.append(escape(String.join(", ", this.summary.vms())))
			.append(". A burn rate of 1 uses the budget up exactly.</p>");
		missing.forEach((message) -> this.html.append("<p>Not included: ").append(escape(message)).append("</p>"));
		addLegend();
	}

	private void addLegend() {
		this.html.append("<ul>");
		for (BurnCause cause : BurnCause.values()) {
			this.html.append(
					String.format(Locale.ROOT, "<li><span class=\"key %s\"></span>%s, budget %.2f%% of requests</li>",
							BurnStyle.cssClass(cause), cause.label(), cause.budget() * 100));
		}
		this.html.append("</ul>");
	}

	private void addTable(BurnDimension dimension, List<BurnGroup> groups) {
		this.html.append("<table><tr><th>").append(dimension.label()).append("</th>");
		for (BurnWindow window : BurnWindow.values()) {
			this.html.append("<th class=\"n\">").append(window.label()).append("</th>");
		}
		this.html.append("<th>Burn rate</th><th>Used up by</th></tr>");
		groups.stream().limit(MAX_GROUPS).forEach(this::addRow);
		this.html.append("</table>");
		if (groups.size() > MAX_GROUPS) {
			this.html.append("<p>").append(groups.size() - MAX_GROUPS).append(" more with lower burn rates.</p>");
		}
	}

	private void addRow(BurnGroup group) {
		this.html.append((group.worst().burnRate() > 1) ? "<tr class=\"over\"><td>" : "<tr><td>")
			.append(escape(group.name()))
			.append("</td>");
		for (BurnWindow window : BurnWindow.values()) {
			this.html.append("<td class=\"n\">").append(BurnTable.rate(group, window)).append("</td>");
		}
		this.html.append("<td>")
			.append(BurnPlot.render(group))
			.append("</td><td>")
			.append(escape(BurnTable.causes(group.worst())))
			.append("</td></tr>");
	}

	private static String escape(String text) {
		return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;").replace("\"", "&quot;");
	}

}
