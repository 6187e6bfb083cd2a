"""The operators' table as CSV: parsing and writing."""

import csv
import io

from apricotthread.control import tables


def parse_cells(
    cell_by_column: dict[str, str], *, place: str
) -> tables.AnyRow:
    """Parse and check one row from its cells; empty cells take defaults.

    Raises tables.TableError with every wrong cell.
    """
    faults = []

    def add_fault(column: str, allowed: str) -> None:
        faults.append(
            tables.TableFault(
                place=place,
                column=column,
                value=cell_by_column.get(column, ''),
                allowed=allowed,
            )
        )

    try:
        row_type = tables.RowType(cell_by_column.get('row', ''))
    except ValueError:
        add_fault('row', 'service, account or request')
        raise tables.TableError(faults=faults) from None
    row_class = tables.ROW_CLASS_BY_TYPE[row_type]
    row_columns = tables.columns_of(row_class)
    value_by_column = {}
    for column, text in cell_by_column.items():
        if column == 'row' or not text:
            continue
        if column not in row_columns:
            add_fault(column, f'empty in a {row_type.value} row')
            continue
        parse, allowed = tables.PARSE_BY_COLUMN.get(column, tables.PARSE_TEXT)
        try:
            value_by_column[column] = parse(text)
        except (ValueError, KeyError):
            add_fault(column, allowed)
    if faults:
        raise tables.TableError(faults=faults)
    value_by_column.setdefault('name', '')
    if row_class is tables.RequestRow:
        value_by_column.setdefault('service', '')
    if row_class is tables.ServiceRow:
        value_by_column.setdefault('type', '')
    row = row_class(**value_by_column)
    row_faults = tables.check_row(row, place=place)
    if row_faults:
        raise tables.TableError(faults=row_faults)
    return row


def parse_csv(text: str) -> tables.Table:
    """Parse and check a table in CSV.

    Raises tables.TableError with all faults.
    """
    reader = csv.reader(io.StringIO(text), strict=True)
    faults: list[tables.TableFault] = []
    rows: dict[tables.RowKey, tables.AnyRow] = {}
    try:
        header = next(reader, [])
        unknown_columns = [
            name for name in header if name not in tables.COLUMNS
        ]
        if (
            unknown_columns
            or 'row' not in header
            or len(set(header)) < len(header)
        ):
            raise tables.TableError(
                faults=[
                    tables.TableFault(
                        place='line 1',
                        column=', '.join(unknown_columns) or 'row',
                        value=','.join(header),
                        allowed='each once of ' + ','.join(tables.COLUMNS),
                    )
                ]
            )
        for cells in reader:
            if not cells:
                continue
            place = f'line {reader.line_num}'
            if len(cells) != len(header):
                faults.append(
                    tables.TableFault(
                        place=place,
                        column='-',
                        value=','.join(cells),
                        allowed=f'{len(header)} cells',
                    )
                )
                continue
            stripped = [cell.strip() for cell in cells]
            try:
                row = parse_cells(
                    dict(zip(header, stripped, strict=True)), place=place
                )
            except tables.TableError as error:
                faults.extend(error.faults)
                continue
            if tables.key_of(row) in rows:
                faults.append(
                    tables.TableFault(
                        place=place,
                        column='name',
                        value=row.name,
                        allowed='a name that no other row has',
                    )
                )
            rows[tables.key_of(row)] = row
    except csv.Error as error:
        faults.append(
            tables.TableFault(
                place=f'line {reader.line_num}',
                column='-',
                value=str(error),
                allowed='CSV',
            )
        )
    table = tables.make_table(rows.values())
    if not faults:
        faults.extend(tables.check_table(table))
    if faults:
        raise tables.TableError(faults=faults)
    return table


def format_csv(table: tables.Table) -> str:
    """Return a table as CSV."""
    out = io.StringIO()
    writer = csv.DictWriter(
        out, tables.COLUMNS, restval='', lineterminator='\n'
    )
    writer.writeheader()
    for row in table.rows:
        writer.writerow(tables.cells_of(row))
    return out.getvalue()
