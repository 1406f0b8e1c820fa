/** A named curve of a plot. */
export interface Curve {
  readonly name: string;
  readonly points: readonly {readonly x: number; readonly y: number}[];
}

const WIDTH = 640;
const HEIGHT = 400;
const MARGIN = 60;
const COLOURS = ['#1b6ca8', '#c0392b', '#27815c'];

/**
 * Renders curves as an SVG plot.
 * @param title - Title above the plot.
 * @param xLabel - Label of the x axis.
 * @param yLabel - Label of the y axis.
 * @param curves - Curves to draw; all share both axes.
 */
export function formatCurve(
  title: string,
  xLabel: string,
  yLabel: string,
  curves: readonly Curve[],
): string {
  const points = curves.flatMap(curve => curve.points);
  const maxX = Math.max(1, ...points.map(point => point.x));
  const maxY = Math.max(1, ...points.map(point => point.y));
  const toX = (x: number) => MARGIN + (x / maxX) * (WIDTH - 2 * MARGIN);
  const toY = (y: number) =>
    HEIGHT - MARGIN - (y / maxY) * (HEIGHT - 2 * MARGIN);
  const lines = curves.map((curve, index) => {
    const colour = COLOURS[index % COLOURS.length];
    const path = curve.points
      .map(({x, y}) => `${toX(x).toFixed(1)},${toY(y).toFixed(1)}`)
      .join(' ');
    const labelY = MARGIN + index * 18;
    return (
      `<polyline fill="none" stroke="${colour}" stroke-width="2" points="${path}"/>` +
      `<text x="${WIDTH - MARGIN}" y="${labelY}" text-anchor="end" fill="${colour}">${curve.name}</text>`
    );
  });
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif" font-size="13">`,
    `<text x="${WIDTH / 2}" y="24" text-anchor="middle">${title}</text>`,
    `<path d="M${MARGIN},${MARGIN} V${HEIGHT - MARGIN} H${WIDTH - MARGIN}" fill="none" stroke="#444"/>`,
    `<text x="${WIDTH / 2}" y="${HEIGHT - 16}" text-anchor="middle">${xLabel} (to ${maxX})</text>`,
    `<text x="16" y="${HEIGHT / 2}" text-anchor="middle" transform="rotate(-90 16 ${HEIGHT / 2})">${yLabel} (to ${maxY.toFixed(0)})</text>`,
    ...lines,
    '</svg>',
    '',
  ].join('\n');
}
