#include <stdlib.h>

#include "bench/report.h"

#define PLOT_WIDTH 960
#define PLOT_HEIGHT 480
#define PLOT_MARGIN 60
#define PLOT_SMOOTH 5 /* seconds averaged for one point */

static const char *const plot_colours[] = {
	"#1b6ca8", "#c0392b", "#27ae60", "#8e44ad",
	"#d68910", "#16a085", "#7f8c8d", "#2c3e50",
};

#define N_COLOURS ((int)(sizeof(plot_colours) / sizeof(*plot_colours)))

static double smooth(const struct report_curve *curve, int at)
{
	double sum = 0;
	int n = 0;
	int i;

	for (i = at; i < at + PLOT_SMOOTH && i < curve->n; i++) {
		sum += curve->values[i];
		n++;
	}
	return n ? sum / n : 0;
}

static double plot_top(const struct report_curve *curves, int n)
{
	double top = 1;
	int i;
	int at;

	for (i = 0; i < n; i++)
		for (at = 0; at < curves[i].n; at += PLOT_SMOOTH)
			if (smooth(&curves[i], at) > top)
				top = smooth(&curves[i], at);
	return top;
}

static void plot_curve(FILE *out, const struct report_curve *curve, int index,
		       double top)
{
	const char *colour = plot_colours[index % N_COLOURS];
	int inner_width = PLOT_WIDTH - 2 * PLOT_MARGIN;
	int inner_height = PLOT_HEIGHT - 2 * PLOT_MARGIN;
	int at;

	fprintf(out,
		"<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\" "
		"points=\"",
		colour);
	for (at = 0; at < curve->n; at += PLOT_SMOOTH)
		fprintf(out, "%.1f,%.1f ",
			PLOT_MARGIN + (double)inner_width * at / curve->n,
			PLOT_HEIGHT - PLOT_MARGIN -
				inner_height * smooth(curve, at) / top);
	fprintf(out, "\"/>\n");
	fprintf(out,
		"<text x=\"%d\" y=\"%d\" fill=\"%s\" font-size=\"13\">%s"
		"</text>\n",
		PLOT_MARGIN + 10, PLOT_MARGIN + 16 * (index + 1), colour,
		curve->name);
}

bool report_plot(const char *path, const char *title,
		 const struct report_curve *curves, int n)
{
	double top = plot_top(curves, n);
	FILE *out = fopen(path, "w");
	int i;

	if (!out)
		return false;
	fprintf(out,
		"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
		"height=\"%d\" font-family=\"sans-serif\">\n"
		"<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n"
		"<text x=\"%d\" y=\"30\" font-size=\"16\">%s: goodput, "
		"tokens/s (top %.0f) over %d s</text>\n"
		"<path d=\"M%d %d V%d H%d\" fill=\"none\" stroke=\"black\"/>\n",
		PLOT_WIDTH, PLOT_HEIGHT, PLOT_MARGIN, title, top,
		n ? curves[0].n : 0, PLOT_MARGIN, PLOT_MARGIN,
		PLOT_HEIGHT - PLOT_MARGIN, PLOT_WIDTH - PLOT_MARGIN);
	for (i = 0; i < n; i++)
		plot_curve(out, &curves[i], i, top);
	fprintf(out, "</svg>\n");
	return !fclose(out);
}
