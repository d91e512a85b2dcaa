const WIDTH = 860;
const BAR_HEIGHT = 20;
const LABEL_WIDTH = 260;
const PLOT_HEIGHT = 200;
const MARGIN = 36;
const COLORS = ["#1b6ca8", "#c0392b", "#2e8b57", "#8e6bbf", "#b8860b"];

/** One bar of a bar plot. */
export interface Bar {
  readonly label: string;
  readonly value: number;
}

/** One line of a line plot. */
export interface Line {
  readonly label: string;
  readonly points: readonly { readonly x: number; readonly y: number }[];
}

/** Draws horizontal bars with their values. */
export function drawBars(title: string, bars: readonly Bar[]): string {
  const maxValue = Math.max(...bars.map((bar) => bar.value), Number.MIN_VALUE);
  const scale = (WIDTH - LABEL_WIDTH - 90) / maxValue;
  const rows = bars.map((bar, index) => {
    const y = 30 + index * (BAR_HEIGHT + 4);
    const width = Math.max(1, bar.value * scale);
    return `<text x="0" y="${y + 14}">${escapeXml(bar.label)}</text>` +
      `<rect x="${LABEL_WIDTH}" y="${y}" width="${width.toFixed(1)}" ` +
      `height="${BAR_HEIGHT}" fill="${COLORS[0]}"/>` +
      `<text x="${(LABEL_WIDTH + width + 6).toFixed(1)}" y="${y + 14}">` +
      `${formatNumber(bar.value)}</text>`;
  });
  const height = 40 + bars.length * (BAR_HEIGHT + 4);
  return wrapSvg(title, height, rows.join(""));
}

/** Draws lines over time in minutes. */
export function drawLines(title: string, lines: readonly Line[]): string {
  const points = lines.flatMap((line) => line.points);
  const maxX = Math.max(...points.map((point) => point.x), 1);
  const maxY = Math.max(...points.map((point) => point.y), Number.MIN_VALUE);
  const scaleX = (WIDTH - 2 * MARGIN) / maxX;
  const scaleY = (PLOT_HEIGHT - 20) / maxY;
  const baseY = PLOT_HEIGHT + 24;
  const paths = lines.map((line, index) => {
    const path = line.points.map((point) =>
      `${(MARGIN + point.x * scaleX).toFixed(1)},` +
      `${(baseY - point.y * scaleY).toFixed(1)}`
    ).join(" ");
    const color = COLORS[index % COLORS.length];
    return `<polyline points="${path}" fill="none" stroke="${color}"/>` +
      `<text x="${MARGIN + index * 260}" y="${baseY + 34}" fill="${color}">` +
      `${escapeXml(line.label)}</text>`;
  });
  const axes = `<line x1="${MARGIN}" y1="${baseY}" x2="${WIDTH - MARGIN}" ` +
    `y2="${baseY}" stroke="#888"/>` +
    `<text x="0" y="30">${formatNumber(maxY)}</text>` +
    `<text x="0" y="${baseY}">0</text>` +
    `<text x="${WIDTH - 110}" y="${baseY + 16}">` +
    `${formatNumber(maxX)} minutes</text>`;
  return wrapSvg(title, PLOT_HEIGHT + 70, axes + paths.join(""));
}

function wrapSvg(title: string, height: number, body: string): string {
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" ` +
    `height="${height}" font-family="sans-serif" font-size="12">` +
    `<text x="0" y="14" font-weight="bold">${escapeXml(title)}</text>` +
    `${body}</svg>`;
}

function formatNumber(value: number): string {
  return value >= 100 ? value.toFixed(0) : value.toPrecision(3);
}

/** Escapes text for XML and HTML. */
export function escapeXml(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;")
    .replaceAll(">", "&gt;").replaceAll('"', "&quot;");
}
