// Settings of what merlinarch has beyond the users' platform, for `merlinarch serve --settings FILE`. All of it is
// off unless it is named here; an unknown name is refused. There is no such feature yet.
{
}
